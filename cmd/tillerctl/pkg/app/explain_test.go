package app

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/azuretiller/azuretiller/pkg/explanation"
)

// TestExplainSendsKeyInBody guards against a key in the URL of the request for an explanation, where it may be logged, and in the output.
func TestExplainSendsKeyInBody(t *testing.T) {
	const key = "secret-key"
	var received explanation.Request
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.String(), key) || r.URL.Path != explanation.Path || r.Method != http.MethodPost {
			t.Errorf("unexpected request: %s %s", r.Method, r.URL)
		}
		if err := json.NewDecoder(r.Body).Decode(&received); err != nil {
			t.Error(err)
		}
		answer := explanation.Answer{VM: "vm-1", Key: "known", Result: explanation.Result{Outcome: explanation.Placed, Server: "i-1", Service: "shop", Reason: "Best."}}
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			t.Error(err)
		}
	}))
	defer vm.Close()
	args := []string{"explain", "--vm", strings.TrimPrefix(vm.URL, "http://"), "--host", "gateway.example", "--path", "/orders/1", "--method", "POST", "--key", key, "--zone", "z"}
	for _, test := range []struct{ flag, want string }{{"--json=false", "placed: Best."}, {"--json", `"outcome": "placed"`}} {
		var out, errOut bytes.Buffer
		if code := Run(append(args, test.flag), &out, &errOut); code != exitOK {
			t.Fatalf("exit code %d: %s", code, errOut.String())
		}
		if !strings.Contains(out.String(), test.want) || strings.Contains(out.String(), key) {
			t.Errorf("unexpected output: %s", out.String())
		}
	}
	want := explanation.Request{Host: "gateway.example", Path: "/orders/1", Method: "POST", Key: key, Zone: "z"}
	if received != want {
		t.Errorf("the VM received %+v", received)
	}
}

// TestExplainReportsRefusal guards against an error of the VM that is shown as an explanation.
func TestExplainReportsRefusal(t *testing.T) {
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "the VM that was asked serves other explanations", http.StatusServiceUnavailable)
	}))
	defer vm.Close()
	var out, errOut bytes.Buffer
	code := Run([]string{"explain", "--vm", strings.TrimPrefix(vm.URL, "http://"), "--host", "h", "--path", "/"}, &out, &errOut)
	if code != exitFailed || out.Len() > 0 || !strings.Contains(errOut.String(), "serves other explanations") {
		t.Errorf("exit code %d, output %q, error %q", code, out.String(), errOut.String())
	}
	if code := Run([]string{"explain", "--host", "h"}, &out, &errOut); code != exitUsage {
		t.Errorf("exit code %d without a path", code)
	}
}
