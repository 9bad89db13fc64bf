package backendserver

// Notice is what a backend server says in its responses about further requests.
type Notice struct {
	// Leaving adds the header that says that the server leaves to each response.
	Leaving bool
	// RetryAfter makes the server reject two of three requests with status 503 and proof that the request did not run. It is the
	// value of the header Retry-After in all responses with that status, as it is, and may be malformed.
	RetryAfter string
}
