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
	// fetchTimeout bounds the time to fetch a configuration from another VM.
	fetchTimeout = 1200 * time.Millisecond
	// maxConfigBytes bounds the size of a configuration, both compressed and decompressed; the store accepts no larger one.
	maxConfigBytes = 16 << 20
)

// errNoConfig means that the VM that was asked has no configuration yet.
var errNoConfig = errors.New("the VM has no configuration yet")

func (e *Edge) serveConfig(w http.ResponseWriter, _ *http.Request) {
	compressed := e.compressedConfig.Load()
	if compressed == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	_, _ = w.Write((*compressed)())
}

// setConfig replaces the configuration of this VM if the given one is newer, and reports whether it did.
func (e *Edge) setConfig(data []byte, source string) bool {
	c, err := platform.DecodeConfig(data)
	if err != nil {
		e.common.Log.WithError(err).Error("failed to decode configuration")
		return false
	}
	if e.config != nil && c.Revision <= e.config.Revision {
		return false
	}
	// The configuration is compressed on first use, since most VMs are never asked for it.
	compressed := sync.OnceValue(func() []byte { return compress(data) })
	e.compressedConfig.Store(&compressed)
	e.config = c
	e.logEvent("configuration", log.Fields{"version": c.Version, "source": source})
	return true
}

func compress(data []byte) []byte {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	// Writes to a bytes.Buffer never fail.
	_, _ = writer.Write(data)
	_ = writer.Close()
	return compressed.Bytes()
}

// fetchConfig fetches the newest configuration of the VM at the host:port peer.
func fetchConfig(ctx context.Context, client *http.Client, peer string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+configPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create configuration request")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "fetch configuration")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, errNoConfig
	default:
		return nil, errors.Newf("fetch configuration: status %d", response.StatusCode)
	}
	reader, err := gzip.NewReader(io.LimitReader(response.Body, maxConfigBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxConfigBytes))
	return data, errors.Wrap(err, "read configuration")
}
