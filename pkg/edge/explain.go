package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/pkg/explanation"
)

const (
	// explainSlots is the number of explanations that a VM serves at a time, to operators and, on the leader, to other VMs.
	explainSlots = 2
	// explainHold is the least time for which an explanation occupies its slot. Operators' scripts thus get at most 20 explanations a second
	// from the control goroutine of the leader, which also places the requests.
	explainHold = 100 * time.Millisecond
	// leaderExplainTimeout bounds the time in which the leader has to answer.
	leaderExplainTimeout = 300 * time.Millisecond
)

var (
	errExplainNotLeader = errors.New("the VM that was asked is not the leader")
	errExplainBusy      = errors.New("the VM that was asked serves other explanations")
	errExplainTimeout   = errors.New("the leader did not answer in time")
)

// explainer serves explanations of requests. It takes no tokens and slots, and neither logs nor counts requests.
type explainer struct {
	edge   *Edge
	client http.Client
	// operators and peers hold one element for each explanation being served to operators and to other VMs.
	operators, peers chan struct{}
}

func newExplainer(e *Edge) *explainer {
	return &explainer{edge: e, operators: make(chan struct{}, explainSlots), peers: make(chan struct{}, explainSlots)}
}

// serve explains a request to an operator.
func (x *explainer) serve(w http.ResponseWriter, r *http.Request) {
	serveExplanation(w, r, x.operators, explanation.MaxRequestBytes, x.explain)
}

// servePlacement explains a placement to another VM if this VM is the leader.
func (x *explainer) servePlacement(w http.ResponseWriter, r *http.Request) {
	serveExplanation(w, r, x.peers, explanation.MaxPlacementRequestBytes, x.explainAsLeader)
}

// serveExplanation decodes a request, explains it within a slot and writes the answer. Error messages leave out the request, which may contain
// a key.
func serveExplanation[Q, A any](w http.ResponseWriter, r *http.Request, slots chan struct{}, maxBytes int64, explain func(context.Context, Q) (A, error)) {
	select {
	case slots <- struct{}{}:
	default:
		w.Header().Set("Retry-After", "1")
		http.Error(w, errExplainBusy.Error(), http.StatusServiceUnavailable)
		return
	}
	started := time.Now()
	defer func() { time.AfterFunc(explainHold-time.Since(started), func() { <-slots }) }()
	var query Q
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&query); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			http.Error(w, "the request is too large", http.StatusRequestEntityTooLarge)
			return
		}
		http.Error(w, "the request is not well-formed", http.StatusBadRequest)
		return
	}
	answer, err := explain(r.Context(), query)
	switch {
	case errors.Is(err, errExplainNotLeader):
		http.Error(w, err.Error(), http.StatusMisdirectedRequest)
		return
	case errors.Is(err, errExplainTimeout):
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has left.
	_ = json.NewEncoder(w).Encode(answer)
}

func (x *explainer) explain(ctx context.Context, r explanation.Request) (explanation.Answer, error) {
	answer, query, err := x.edge.gateway.Explain(r)
	if err != nil || answer.Outcome != "" {
		return answer, err
	}
	query.From = x.edge.self.PeerAddress
	answer.Leading = answer.Leader == query.From
	placement, err := x.place(ctx, answer.Leader, query)
	answer.DecidedBy = "leader"
	if err != nil {
		answer.DecidedBy, answer.LeaderError = "vm without leader", err.Error()
		placement = x.edge.gateway.ExplainWithoutLeader(x.edge.common.Clock.Now(), query)
		placement.Term = answer.Term
	}
	answer.Term, answer.Tokens, answer.Services = placement.Term, placement.Tokens, placement.Services
	answer.OmittedServices, answer.Result = placement.OmittedServices, placement.Result
	return answer, nil
}

// place gets the placement from the leader, which may be this VM.
func (x *explainer) place(ctx context.Context, leader string, query explanation.PlacementRequest) (explanation.Placement, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderExplainTimeout)
	defer cancel()
	switch leader {
	case "":
		return explanation.Placement{}, errors.New("the VM has no leader")
	case query.From:
		return x.explainAsLeader(ctx, query)
	}
	return askExplanation(ctx, &x.client, leader, query)
}

// askExplanation asks the leader at a host:port.
func askExplanation(ctx context.Context, client *http.Client, leader string, query explanation.PlacementRequest) (explanation.Placement, error) {
	var placement explanation.Placement
	data, err := json.Marshal(query)
	if err != nil {
		return placement, errors.Wrap(err, "encode request for an explanation")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+leader+explanation.LeaderPath, bytes.NewReader(data))
	if err != nil {
		return placement, errors.Wrap(err, "create request for an explanation")
	}
	response, err := client.Do(request)
	switch {
	case ctx.Err() != nil:
		return placement, errExplainTimeout
	case err != nil:
		return placement, errors.Wrap(err, "ask the leader")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusMisdirectedRequest:
		return placement, errExplainNotLeader
	case http.StatusServiceUnavailable:
		return placement, errExplainBusy
	default:
		return placement, errors.Newf("ask the leader: status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, explanation.MaxAnswerBytes)).Decode(&placement)
	return placement, errors.Wrap(err, "read the leader's explanation")
}

// explainAsLeader gets the placement from the leader role of this VM.
func (x *explainer) explainAsLeader(ctx context.Context, query explanation.PlacementRequest) (explanation.Placement, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderExplainTimeout)
	defer cancel()
	type result struct {
		placement explanation.Placement
		err       error
	}
	results := make(chan result, 1)
	x.edge.enqueue(x.edge.inbox, func() {
		switch {
		case ctx.Err() != nil:
		case x.edge.leader == nil:
			results <- result{err: errExplainNotLeader}
		default:
			results <- result{placement: x.edge.leader.Explain(x.edge.common.Clock.Now(), query)}
		}
	})
	select {
	case r := <-results:
		return r.placement, r.err
	case <-ctx.Done():
		return explanation.Placement{}, errExplainTimeout
	}
}
