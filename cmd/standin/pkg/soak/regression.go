package soak

// Regression is a seed that failed in the past, with the cause of the failure.
type Regression struct {
	Seed  uint64
	Cause string
}

// Regressions returns the seeds that are run again to detect regressions.
func Regressions() []Regression {
	return []Regression{
		{101, "the soak started a VM twice when two restarts of it overlapped, and the second process failed because its address was in use"},
		{604, "the soak counted streamed responses without an end, which the timeout of the request aborts, as cut by the VM"},
		{701, "the soak counted a streamed response that a fault of the server's connections broke off as cut by the VM"},
		{703, "a pause that a server asked for right after its restart ended when its new incarnation was listed"},
		{832, "the soak counted a response without an end, which a stopping VM cut at the end of its grace period, as cut by the VM"},
		{843, "each of several leaders that followed each other within a window let the limited team exceed its rate"},
		{3010, "a stand-in server that goes on after a complete response sent a body that the soak takes for a truncated one"},
	}
}
