package classifier

// RetryReason is the reason for a retry.
type RetryReason string

// The reasons for a retry. Only attempts that are idempotent, or known not to have been executed, are
// retried.
const (
	RetryConnectFailed        RetryReason = "connect-failed"
	RetryEndpointRefused      RetryReason = "endpoint-refused"
	RetryStreamBroken         RetryReason = "stream-broken"
	RetryEndpointLeaving      RetryReason = "endpoint-leaving"
	RetryHedged               RetryReason = "hedged"
	RetryEndpointFailed       RetryReason = "endpoint-failed"
	RetryEndpointUnresponsive RetryReason = "endpoint-silent"
	// RetryResponseLost says that the endpoint works and no longer has the request.
	RetryResponseLost RetryReason = "response-lost"
)

// RetryReasons returns every reason.
func RetryReasons() []RetryReason {
	return []RetryReason{RetryConnectFailed, RetryEndpointRefused, RetryStreamBroken, RetryEndpointLeaving, RetryHedged, RetryEndpointFailed, RetryEndpointUnresponsive, RetryResponseLost}
}
