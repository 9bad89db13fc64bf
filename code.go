package azuretiller

// Code is the numbered result of a request.
type Code int

// The result codes. CodeTable describes each of them.
const (
	CodeOK                 Code = 1000
	CodeReplayed           Code = 1001
	CodeNoKey              Code = 2000
	CodeUnknownKey         Code = 2001
	CodeNoRoute            Code = 2002
	CodeRouteNotAllowed    Code = 2003
	CodeBodyTooLarge       Code = 2004
	CodeMalformed          Code = 2005
	CodeRequestIDReused    Code = 2006
	CodeBodyTimeout        Code = 2007
	CodeRateExceeded       Code = 3000
	CodeRateUnavailable    Code = 3001
	CodeOverloaded         Code = 3002
	CodeNoServer           Code = 3003
	CodeQueueTimeout       Code = 3004
	CodeHomeUnreachable    Code = 3005
	CodeStaleView          Code = 3006
	CodeNotReady           Code = 3007
	CodeHeldBack           Code = 3008
	CodeIDStoreUnavailable Code = 3009
	CodeShedByServer       Code = 3010
	CodeConnectFailed      Code = 3011
	CodePoolMoved          Code = 3012
	CodeStopping           Code = 3013
	CodeServersPaused      Code = 3014
	CodeTooManyConnections Code = 3015
	CodeServerFailed       Code = 4000
	CodeServerTimeout      Code = 4001
	CodeTruncated          Code = 4002
	CodeHomeLost           Code = 4003
	CodeIDUnknownAge       Code = 4004
	CodeInProgress         Code = 4005
	CodeCancelled          Code = 4006
	CodeAnswerNotKept      Code = 4007
	CodeBodyInterrupted    Code = 4008
	CodeBodyTooLong        Code = 4009
	CodeStopped            Code = 4010
)

// Outcome reports whether a request with this code was executed; it is MayHaveRun for unknown codes.
func (c Code) Outcome() Outcome {
	info, ok := LookupCode(c)
	if !ok {
		return MayHaveRun
	}
	return info.Outcome
}
