package wire

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/forward"
	"github.com/azuretiller/azuretiller/pkg/peerpb"
)

func encodeRequest(r forward.Request) *peerpb.RequestHead {
	return &peerpb.RequestHead{
		Trace:       r.TraceID,
		Team:        string(r.Team),
		Weight:      uint32(r.Weight),
		Route:       string(r.Route),
		Service:     string(r.Pool.Service),
		Zone:        string(r.Pool.Zone),
		Pool:        uint32(r.Pool.Index),
		Method:      r.Method,
		Target:      r.Target,
		Host:        r.Host,
		Headers:     EncodeHeaders(r.Headers),
		Length:      r.Length,
		TimeoutUs:   r.Timeout.Microseconds(),
		Idempotent:  r.Idempotent,
		Retries:     uint32(r.Retries),
		Fingerprint: r.Fingerprint,
		Replayable:  r.Replayable,
		Attempted:   r.MayHaveRun,
	}
}

// DecodeRequest converts a protobuf message to a request.
func DecodeRequest(m *peerpb.RequestHead) forward.Request {
	return forward.Request{
		TraceID: m.GetTrace(),
		Team:    azuretiller.TeamID(m.GetTeam()),
		Weight:  int(m.GetWeight()),
		Route:   azuretiller.RouteID(m.GetRoute()),
		Pool: azuretiller.PoolID{
			Service: azuretiller.ServiceID(m.GetService()),
			Zone:    azuretiller.Zone(m.GetZone()),
			Index:   int(m.GetPool()),
		},
		Method:      m.GetMethod(),
		Target:      m.GetTarget(),
		Host:        m.GetHost(),
		Headers:     DecodeHeaders(m.GetHeaders()),
		Length:      m.GetLength(),
		Timeout:     time.Duration(m.GetTimeoutUs()) * time.Microsecond,
		Idempotent:  m.GetIdempotent(),
		Retries:     int(m.GetRetries()),
		Fingerprint: m.GetFingerprint(),
		Replayable:  m.GetReplayable(),
		MayHaveRun:  m.GetAttempted(),
	}
}

func encodeResponse(r forward.Response) *peerpb.ResponseHead {
	return &peerpb.ResponseHead{
		Code:         uint32(r.Code),
		Detail:       r.Detail,
		Status:       uint32(r.Status),
		Headers:      EncodeHeaders(r.Headers),
		Length:       r.Length,
		Server:       string(r.Server),
		RetryAfterUs: r.RetryAfter.Microseconds(),
		Attempts:     uint32(r.Attempts),
		Load: &peerpb.PoolLoad{
			Capacity: uint32(r.Load.Capacity),
			Busy:     uint32(r.Load.Running),
			Waiting:  uint32(r.Load.Queued),
		},
		ServiceUs: r.ServiceTime.Microseconds(),
		QueueUs:   r.QueueTime.Microseconds(),
	}
}

func decodeResponse(m *peerpb.ResponseHead) forward.Response {
	return forward.Response{
		Code:       azuretiller.Code(m.GetCode()),
		Detail:     m.GetDetail(),
		Status:     int(m.GetStatus()),
		Headers:    DecodeHeaders(m.GetHeaders()),
		Length:     m.GetLength(),
		Server:     azuretiller.ServerID(m.GetServer()),
		RetryAfter: time.Duration(m.GetRetryAfterUs()) * time.Microsecond,
		Attempts:   int(m.GetAttempts()),
		Load: forward.Load{
			Capacity: int(m.GetLoad().GetCapacity()),
			Running:  int(m.GetLoad().GetBusy()),
			Queued:   int(m.GetLoad().GetWaiting()),
		},
		ServiceTime: time.Duration(m.GetServiceUs()) * time.Microsecond,
		QueueTime:   time.Duration(m.GetQueueUs()) * time.Microsecond,
	}
}

func encodeFrame(f forward.Frame) *peerpb.Frame {
	return &peerpb.Frame{
		Data:     f.Data,
		End:      f.End,
		Code:     uint32(f.Code),
		Trailers: EncodeHeaders(f.Trailers),
	}
}

func decodeFrame(m *peerpb.Frame) forward.Frame {
	return forward.Frame{
		Data:     m.GetData(),
		End:      m.GetEnd(),
		Code:     azuretiller.Code(m.GetCode()),
		Trailers: DecodeHeaders(m.GetTrailers()),
	}
}

// EncodeHeaders converts headers to protobuf messages, sorted by name.
func EncodeHeaders(h http.Header) []*peerpb.Header {
	if len(h) == 0 {
		return nil
	}
	out := make([]*peerpb.Header, 0, len(h))
	for _, name := range slices.Sorted(maps.Keys(h)) {
		out = append(out, &peerpb.Header{Name: name, Values: h[name]})
	}
	return out
}

// DecodeHeaders converts protobuf messages to headers; it returns nil if there are none.
func DecodeHeaders(in []*peerpb.Header) http.Header {
	if len(in) == 0 {
		return nil
	}
	out := make(http.Header, len(in))
	for _, h := range in {
		out[h.GetName()] = h.GetValues()
	}
	return out
}
