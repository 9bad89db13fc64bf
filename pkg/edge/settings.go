package edge

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/platform"
)

const (
	// fetchTimeout bounds how long a configuration may take from another VM.
	fetchTimeout = 1200 * time.Millisecond
	// largestConfig bounds a configuration, in bytes; the store takes none that is larger.
	largestConfig = 16 << 20
)

// rawConfig is a configuration in the platform's format, compressed.
type rawConfig struct {
	revision uint64
	zipped   []byte
}

func (e *Edge) serveSettings(w http.ResponseWriter, _ *http.Request) {
	raw := e.raw.Load()
	if raw == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	_, _ = w.Write(raw.zipped)
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
	var zipped bytes.Buffer
	writer := gzip.NewWriter(&zipped)
	// A buffer takes every write.
	_, _ = writer.Write(data)
	_ = writer.Close()
	e.raw.Store(&rawConfig{revision: c.Revision, zipped: zipped.Bytes()})
	e.config = c
	e.note("configuration", map[string]any{"version": c.Version, "source": source})
	return true
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
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("fetch settings: status %d", response.StatusCode)
	}
	reader, err := gzip.NewReader(io.LimitReader(response.Body, largestConfig))
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	data, err := io.ReadAll(io.LimitReader(reader, largestConfig))
	return data, errors.Wrap(err, "read settings")
}
