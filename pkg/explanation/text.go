package explanation

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText writes the answer as text for operators.
func (a Answer) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("%s: %s", a.Outcome, a.Reason)
	if a.Server != "" {
		line("server\t%s of service %s", a.Server, a.Service)
	}
	switch a.Outcome {
	case Waits:
		line("expected wait\t%s, at most %s", milliseconds(a.WaitMS), milliseconds(a.MaxWaitMS))
	case Refused:
		line("code\t%d%s", int(a.Code), ifSet(a.RetryAfterMS > 0, fmt.Sprintf(", Retry-After %s", milliseconds(a.RetryAfterMS))))
	}
	line("decided by\t%s", a.decider())
	if a.LeaderError != "" {
		line("leader error\t%s", a.LeaderError)
	}
	line("vm\t%s in %s, configuration %s%s", a.VM, a.Zone, orNone(a.Version), ifSet(a.Leaving, ", leaving"))
	if a.Route != "" {
		line("route\t%s (%s), timeout %s, target latency %s, priority %d, %s", a.Route, a.Prefix, milliseconds(a.TimeoutMS), milliseconds(a.TargetMS), a.Priority, a.idempotency())
		line("team\t%s, key %s", orNone(string(a.Team)), a.Key)
		line("services\t%s", a.backends())
	}
	if t := a.Tokens; t != nil {
		if t.Limited {
			line("tokens\t%.2f available, %.2f/s, share of the rate %.3f", t.Available, t.PerSecond, t.Share)
		} else {
			line("tokens\tno limit")
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, s := range a.Services {
		if err := s.writeText(out); err != nil {
			return err
		}
	}
	if a.OmittedServices > 0 {
		_, err := fmt.Fprintf(out, "\n%d more services\n", a.OmittedServices)
		return err
	}
	return nil
}

func (a Answer) decider() string {
	switch {
	case a.DecidedBy != "leader":
		return a.DecidedBy
	case a.Leading:
		return fmt.Sprintf("leader, which is this VM, term %v", a.Term)
	}
	return fmt.Sprintf("leader %s, term %v", a.Leader, a.Term)
}

func (a Answer) idempotency() string {
	if a.Idempotent {
		return "idempotent"
	}
	return "not idempotent"
}

func (a Answer) backends() string {
	var list []string
	for _, b := range a.Backends {
		list = append(list, fmt.Sprintf("%s (weight %d)", b.Service, b.Weight))
	}
	return orNone(strings.Join(list, ", "))
}

func (s Service) writeText(out io.Writer) error {
	_, _ = fmt.Fprintf(out, "\nservice %s: %s: %s\n", s.ID, s.Result.Outcome, s.Result.Reason)
	_, _ = fmt.Fprintf(out, "waiting %d, running %d", s.Waiting, s.Running)
	if s.Retries != nil {
		_, _ = fmt.Fprintf(out, ", retry budget %.2f", *s.Retries)
	}
	_, _ = fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVER\tZONE\tBUSY\tUSABLE\tSTATE\tSUCCESS\tSCORE\tPARTS")
	for _, server := range s.Servers {
		var parts []string
		for _, p := range server.Parts {
			parts = append(parts, fmt.Sprintf("%s %+.3f", p.Name, p.Value))
		}
		id := string(server.ID)
		if server.ID == s.Result.Server {
			id = "*" + id
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d/%d\t%s\t%s\t%.3f\t%.3f\t%s\n", id, orNone(string(server.Zone)), server.Busy, server.Slots,
			yesNo(server.Eligible), orNone(strings.Join(server.State, ",")), server.Success, server.Score, strings.Join(parts, ", "))
	}
	if s.OmittedServers > 0 {
		_, _ = fmt.Fprintf(w, "%d more servers\n", s.OmittedServers)
	}
	return w.Flush()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func ifSet(set bool, text string) string {
	if set {
		return text
	}
	return ""
}
