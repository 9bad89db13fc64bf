package edge

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/platform"
)

const (
	// fetchTimeout bounds how long a configuration may take from another VM.
	fetchTimeout = 1200 * time.Millisecond
	// largestConfig bounds a configuration, in bytes; the store takes none that is larger.
	largestConfig = 16 << 20
)

// errNoSettings means that the VM that was asked has no configuration yet.
var errNoSettings = errors.New("the VM has no configuration yet")

func (e *Edge) serveSettings(w http.ResponseWriter, _ *http.Request) {
	zipped := e.zipped.Load()
	if zipped == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	_, _ = w.Write((*zipped)())
}

// setConfig takes a configuration unless this VM has a newer one, and reports whether it did.
func (e *Edge) setConfig(data []byte, source string) bool {
	c, err := platform.DecodeConfig(data)
	if err != nil {
		e.common.Log.WithError(err).Error("configuration not understood")
		return false
	}
	if e.config != nil && c.Revision <= e.config.Revision {
		return false
	}
	// Most VMs are never asked for it.
	zipped := sync.OnceValue(func() []byte { return zip(data) })
	e.zipped.Store(&zipped)
	e.config = c
	e.note("configuration", log.Fields{"version": c.Version, "source": source})
	return true
}

func zip(data []byte) []byte {
	var zipped bytes.Buffer
	writer := gzip.NewWriter(&zipped)
	// A buffer takes every write.
	_, _ = writer.Write(data)
	_ = writer.Close()
	return zipped.Bytes()
}

// fetchSettings gets the newest configuration of another VM.
func fetchSettings(ctx context.Context, client *http.Client, peer string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+settingsPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request for settings")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "fetch settings")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, errNoSettings
	default:
		return nil, errors.Newf("fetch settings: status %d", response.StatusCode)
	}
	reader, err := gzip.NewReader(io.LimitReader(response.Body, largestConfig))
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	data, err := io.ReadAll(io.LimitReader(reader, largestConfig))
	return data, errors.Wrap(err, "read settings")
}
