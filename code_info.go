package azuretiller

// CodeInfo describes one result code.
type CodeInfo struct {
	Code    Code
	Name    string
	Status  int
	Outcome Outcome
	Meaning string
}

// LookupCode returns the row of CodeTable for a code, or false if the code is unknown.
func LookupCode(c Code) (CodeInfo, bool) {
	for _, info := range CodeTable() {
		if info.Code == c {
			return info, true
		}
	}
	return CodeInfo{}, false
}

// CodeTable returns every result code in ascending order.
func CodeTable() []CodeInfo {
	return []CodeInfo{
		{CodeOK, "ok", 200, Done, "The answer of a backend server, whole; the HTTP status is the server's own."},
		{CodeReplayed, "replayed", 200, Done, "The first answer to the same request id, given again; the request was not run a second time."},
		{CodeNoKey, "no-key", 401, NotRun, "The route needs a key and the request carried none."},
		{CodeUnknownKey, "unknown-key", 401, NotRun, "The key is not granted, or it was withdrawn."},
		{CodeNoRoute, "no-route", 404, NotRun, "No route matches the path."},
		{CodeRouteNotAllowed, "route-not-allowed", 403, NotRun, "The team may not use the service of the route."},
		{CodeBodyTooLarge, "body-too-large", 413, NotRun, "The declared body is larger than the route allows."},
		{CodeMalformed, "malformed", 400, NotRun, "The request is not well-formed."},
		{CodeRequestIDReused, "request-id-reused", 422, NotRun, "The request id was used for a different request of the team; this one was not run."},
		{CodeBodyTimeout, "body-timeout", 408, NotRun, "The caller did not send the body in time; no backend server got any of it."},
		{CodeRateExceeded, "rate-exceeded", 429, NotRun, "The team has used up its rate and burst."},
		{CodeRateUnavailable, "rate-unavailable", 503, NotRun, "The VMs that hold the team's rate cannot be reached."},
		{CodeOverloaded, "overloaded", 503, NotRun, "No pool of the service has room in its queue."},
		{CodeNoServer, "no-server", 503, NotRun, "No backend server of the service takes work."},
		{CodeQueueTimeout, "queue-timeout", 503, NotRun, "The request waited for a slot until its deadline."},
		{CodeHomeUnreachable, "home-unreachable", 503, NotRun, "The VM that decides for the pool cannot be reached."},
		{CodeStaleView, "stale-view", 503, NotRun, "This VM cannot know whether the key was withdrawn; use another VM."},
		{CodeNotReady, "not-ready", 503, NotRun, "This VM has no configuration yet; use another VM."},
		{CodeHeldBack, "held-back", 503, NotRun, "The same request crashed several backend servers and is held back for a while."},
		{CodeIDStoreUnavailable, "id-store-unavailable", 503, NotRun, "The request id could not be recorded before dispatch."},
		{CodeShedByServer, "shed-by-server", 503, NotRun, "The backend server declared that it did not start the request."},
		{CodeConnectFailed, "connect-failed", 503, NotRun, "No connection to a backend server could be made."},
		{CodePoolMoved, "pool-moved", 503, NotRun, "Another VM decides for the pool now."},
		{CodeStopping, "stopping", 503, NotRun, "This VM is about to stop; use another VM."},
		{CodeServersPaused, "servers-paused", 503, NotRun, "All backend servers of the service leave, or asked this VM for a pause."},
		{CodeTooManyConnections, "too-many-connections", 503, NotRun, "This VM had too many connections while the caller sent the body; no backend server got any of it."},
		{CodeServerFailed, "server-failed", 502, MayHaveRun, "The backend server broke off before it answered."},
		{CodeServerTimeout, "server-timeout", 504, MayHaveRun, "The backend server did not answer within the deadline."},
		{CodeTruncated, "truncated", 502, MayHaveRun, "The answer broke off; what was delivered is incomplete."},
		{CodeHomeLost, "home-lost", 502, MayHaveRun, "The VM that decides for the pool was lost after the request reached it."},
		{CodeIDUnknownAge, "id-unknown-age", 409, MayHaveRun, "No VM can tell whether the request id was used before."},
		{CodeInProgress, "in-progress", 409, MayHaveRun, "A request with the same id was started and has not ended."},
		{CodeCancelled, "cancelled", 499, MayHaveRun, "The caller went away before the answer."},
		{CodeAnswerNotKept, "answer-not-kept", 409, Done, "A request with the same id ended; its answer was too large to be kept."},
		{CodeBodyInterrupted, "body-interrupted", 502, MayHaveRun, "The body broke off or came too slowly; a backend server got only its start."},
		{CodeBodyTooLong, "body-too-long", 413, MayHaveRun, "The body exceeds the limit without having declared its size; a backend server got only its start."},
		{CodeStopped, "stopped", 504, MayHaveRun, "This VM stopped before the backend server answered."},
	}
}
