package app

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/explanation"
)

// explainTimeout bounds the time of an explanation. The VM answers within a few hundred milliseconds.
const explainTimeout = 5 * time.Second

func (c *cli) explainCommand() *cobra.Command {
	var r explanation.Request
	var zone string
	cmd := &cobra.Command{
		Use:   "explain --vm HOST:PORT --host NAME --path PATH",
		Short: "Show where a VM of azuretiller edge would send a request now and why, without sending it",
		Long: "Show where a VM of azuretiller edge would send a request now and why, without sending it.\n\n" +
			"--vm is the address of the VM for traffic between VMs, where it serves /dump.",
		Example: "  tillerctl explain --vm 10.0.0.4:7400 --host gateway.example --path /orders/17 --method POST --key KEY",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if r.Host == "" || r.Path == "" {
				return errors.Wrap(errUsage, "set --host and --path")
			}
			r.Zone = azuretiller.Zone(zone)
			if r.Key == "" {
				r.Key = os.Getenv("TILLERCTL_KEY")
			}
			answer, err := askExplanation(cmd.Context(), c.address, r)
			if err != nil {
				return err
			}
			if c.printJSON {
				return c.show(answer, "", nil)
			}
			return answer.WriteText(c.out)
		},
	}
	f := cmd.Flags()
	f.StringVar(&r.Host, "host", "", "host name of the request")
	f.StringVar(&r.Path, "path", "", "path of the request")
	f.StringVar(&r.Method, "method", http.MethodGet, "method of the request")
	f.StringVar(&r.Key, "key", "", "the caller's API key; TILLERCTL_KEY by default")
	f.StringVar(&zone, "zone", "", "availability zone of the VM that the caller uses; the zone of the asked VM by default")
	return cmd
}

// askExplanation asks the VM at a host:port. The key is sent in the body, since URLs may be logged.
func askExplanation(ctx context.Context, vm string, r explanation.Request) (explanation.Answer, error) {
	var answer explanation.Answer
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	data, err := json.Marshal(r)
	if err != nil {
		return answer, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm+explanation.Path, bytes.NewReader(data))
	if err != nil {
		return answer, errors.Wrap(err, "create request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, errors.Wrapf(err, "ask VM %s", vm)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, explanation.MaxAnswerBytes))
	if err != nil {
		return answer, errors.Wrap(err, "read answer")
	}
	if response.StatusCode != http.StatusOK {
		return answer, errors.Newf("VM %s: status %d: %s", vm, response.StatusCode, strings.TrimSpace(string(body)))
	}
	return answer, errors.Wrap(json.Unmarshal(body, &answer), "decode answer")
}
