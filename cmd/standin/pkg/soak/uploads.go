package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/backendserver"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	// uploaders is the number of callers that send uploads.
	uploaders = 4
	// maxUpload is the size in bytes of the largest upload. It is more than a VM buffers of one request.
	maxUpload = 1536 << 10
	// uploadPieces is the number of pieces in which a slow caller sends an upload.
	uploadPieces = 8
	// maxUploadPause is the longest time between two pieces. Some uploads then reach their timeout.
	maxUploadPause = 400 * time.Millisecond
	// uploadInterval is the time between two uploads of a caller.
	uploadInterval = 100 * time.Millisecond
)

// errCut ends an upload that the caller gives up.
var errCut = errors.New("caller gives up")

// uploadBody returns the body of the upload with the given attempt ID, which differs from that of any other.
func uploadBody(attempt string, size int) string {
	return strings.Repeat(attempt+" ", size/(len(attempt)+1)+1)[:size]
}

// runUploads sends the uploads of one caller until the context ends: with and without a declared size, slowly, cut short, or to a
// server that responds before it has read them.
func (s *Soak) runUploads(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(s.params.Seed, uint64(1000+caller)))
	for ctx.Err() == nil {
		s.upload(ctx, random, s.vms[random.IntN(len(s.vms))])
		time.Sleep(uploadInterval)
	}
}

func (s *Soak) upload(ctx context.Context, random *rand.Rand, v *vm) {
	o := outcome{attempt: s.recorder.nextAttempt(), order: true, key: freeKey, vm: v, sentAt: time.Now(), uploadSize: 1 + random.IntN(maxUpload)}
	defer func() {
		o.endedAt = time.Now()
		o.callerLeft = o.callerLeft || ctx.Err() != nil
		s.recorder.record(o)
	}()
	source := &slowReader{data: uploadBody(o.attempt, o.uploadSize), size: o.uploadSize}
	if random.IntN(2) == 0 {
		source.size = o.uploadSize/uploadPieces + 1
		source.pause = time.Duration(random.Int64N(int64(maxUploadPause)))
	}
	if random.IntN(4) == 0 {
		source.cutAfter = 1 + random.IntN(o.uploadSize)
		o.callerLeft = true
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.callerAddress()+ordersPath+o.attempt, source)
	if err != nil {
		s.recordError(err)
		return
	}
	request.Host = host
	request.ContentLength = -1
	if random.IntN(2) == 0 {
		request.ContentLength = int64(o.uploadSize)
	}
	request.Header.Set(platform.HeaderAttempt, o.attempt)
	request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+freeKey)
	if random.IntN(4) == 0 {
		request.Header.Set(backendserver.HeaderRejectEarly, "1")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * requestTimeout}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	o.begun = true
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return
	}
	o.status = response.StatusCode
	if o.status == http.StatusOK && response.Header.Get(platform.HeaderAttempt) != o.attempt {
		s.recorder.recordViolation("upload " + o.attempt + " got the response to another request, or an empty one")
	}
}

// slowReader returns data in pieces with pauses between them, and an error after cutAfter bytes unless that is 0.
type slowReader struct {
	data     string
	size     int
	pause    time.Duration
	cutAfter int
	read     int
}

// Read returns the next piece.
func (r *slowReader) Read(p []byte) (int, error) {
	if r.cutAfter > 0 && r.read >= r.cutAfter {
		return 0, errCut
	}
	if r.read == len(r.data) {
		return 0, io.EOF
	}
	if r.read%r.size == 0 {
		time.Sleep(r.pause)
	}
	end := min(len(r.data), r.read-r.read%r.size+r.size)
	n := copy(p, r.data[r.read:end])
	r.read += n
	return n, nil
}
