package upstream

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/platform"
)

// TestInvalidStatusFailsAttempt guards against a response with a status that HTTP does not have: it must not reach the caller, hide the
// response behind it like an informational one, or prove that the request did not run.
func TestInvalidStatusFailsAttempt(t *testing.T) {
	fields := platform.HeaderAttempt + ": " + testID + "\r\n" + platform.HeaderSignature + ": signed\r\n"
	complete := signedHead + "Content-Length: 2\r\n\r\nok"
	for _, status := range []string{"000", "001", "+01", "099", "600", "999"} {
		invalid := "HTTP/1.1 " + status + " Status\r\n"
		for name, start := range map[string]string{
			"signed":                 invalid + fields + "Content-Length: 2\r\n\r\nok",
			"before a response":      invalid + "\r\n" + complete,
			"signed, before another": invalid + fields + "\r\n" + complete,
			"after an informational": "HTTP/1.1 103 Early Hints\r\n\r\n" + invalid + "\r\n" + complete,
			"with a refusal":         invalid + fields + platform.HeaderNotRun + ": true\r\n" + platform.HeaderLeaving + ": 1\r\n\r\n",
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				response := send(t.Context(), &server{start: start})
				assert.Equal(t, message.Failed, response.Result)
				assert.False(t, response.Result.NotRun(), "the request may have run")
				require.Error(t, response.Err)
				assert.Zero(t, response.Status)
				assert.Empty(t, response.Body)
				assert.Empty(t, response.Headers)
				assert.Zero(t, response.Notice)
			})
		}
	}
	assert.Equal(t, message.Succeeded, send(t.Context(), &server{start: complete}).Result)
}
