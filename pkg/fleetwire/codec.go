package fleetwire

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/fleetpb"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// Encode returns the datagram of a message.
func Encode(e message.Envelope) ([]byte, error) {
	d := &fleetpb.Datagram{Call: e.Call}
	switch b := e.Body.(type) {
	case message.Heartbeat:
		d.Body = &fleetpb.Datagram_Beat{Beat: &fleetpb.Beat{
			Vm:          string(b.VM),
			Incarnation: uint64(b.Incarnation),
			Zone:        string(b.Zone),
			Callers:     b.CallerAddress,
			Addresses:   b.ResolveAddress,
			Ready:       b.Ready,
			Leaving:     b.Leaving,
			Term:        uint64(b.Term),
			View:        b.ViewVersion,
			Settings:    b.ConfigRevision,
			Power:       uint32(b.CPUPercent),
			SentMs:      encodeClock(b.SentAt),
			StampMs:     encodeClock(b.Stamp),
			Share:       uint32(b.Share),
			Pledges:     encodePledges(b.Pledges),
			Drained:     b.DrainedView,
		}}
	case message.HeartbeatResponse:
		d.Body = &fleetpb.Datagram_BeatAnswer{BeatAnswer: &fleetpb.BeatAnswer{
			Term:     uint64(b.Term),
			Leads:    b.IsLeader,
			Leader:   string(b.Leader),
			Address:  b.LeaderAddress,
			Settings: b.ConfigRevision,
			Resigned: b.LeaderResigned,
			Known:    b.StaticFieldsKnown,
			StampMs:  encodeClock(b.Stamp),
			SentMs:   encodeClock(b.SentAt),
			Share:    uint32(b.Share),
			Renewed:  b.ShareRenewed,
			Offset:   uint32(b.ShareOffset),
			Stronger: uint32(b.StrongerVMs),
		}}
	case message.VoteRequest:
		d.Body = &fleetpb.Datagram_Poll{Poll: &fleetpb.Poll{Term: uint64(b.Term)}}
	case message.Vote:
		d.Body = &fleetpb.Datagram_Vote{Vote: &fleetpb.Vote{
			Term:    uint64(b.Term),
			InTouch: b.LeaderReachable,
			Leader:  string(b.Leader),
			Address: b.LeaderAddress,
			Share:   uint32(b.Share),
		}}
	case message.HandOver:
		d.Body = &fleetpb.Datagram_HandOver{HandOver: encodeHandOver(b)}
	case message.PlaceRequest:
		d.Body = &fleetpb.Datagram_Ask{Ask: encodePlaceRequest(b)}
	case message.PlaceResponse:
		d.Body = &fleetpb.Datagram_Grant{Grant: encodePlaceResponse(b)}
	case message.Report:
		d.Body = &fleetpb.Datagram_Report{Report: encodeReport(b)}
	case message.ReportAck:
		d.Body = &fleetpb.Datagram_Seen{Seen: &fleetpb.Seen{Term: uint64(b.Term)}}
	case message.View:
		d.Body = &fleetpb.Datagram_View{View: encodeView(b)}
	default:
		return nil, errors.Newf("encode datagram: unsupported message type %T", e.Body)
	}
	data, err := proto.Marshal(d)
	return data, errors.Wrap(err, "encode datagram")
}

// Decode returns the message in a datagram.
func Decode(data []byte) (message.Envelope, error) {
	var d fleetpb.Datagram
	if err := proto.Unmarshal(data, &d); err != nil {
		return message.Envelope{}, errors.Wrap(err, "decode datagram")
	}
	e := message.Envelope{Call: d.GetCall()}
	switch b := d.GetBody().(type) {
	case *fleetpb.Datagram_Beat:
		e.Body = message.Heartbeat{
			VM:             azuretiller.VMID(b.Beat.GetVm()),
			Incarnation:    azuretiller.Incarnation(b.Beat.GetIncarnation()),
			Zone:           azuretiller.Zone(b.Beat.GetZone()),
			CallerAddress:  b.Beat.GetCallers(),
			ResolveAddress: b.Beat.GetAddresses(),
			Ready:          b.Beat.GetReady(),
			Leaving:        b.Beat.GetLeaving(),
			Term:           azuretiller.Term(b.Beat.GetTerm()),
			ViewVersion:    b.Beat.GetView(),
			ConfigRevision: b.Beat.GetSettings(),
			CPUPercent:     int(b.Beat.GetPower()),
			SentAt:         decodeClock(b.Beat.GetSentMs()),
			Stamp:          decodeClock(b.Beat.GetStampMs()),
			Share:          azuretiller.RateShare(b.Beat.GetShare()),
			Pledges:        decodePledges(b.Beat.GetPledges()),
			DrainedView:    b.Beat.GetDrained(),
		}
	case *fleetpb.Datagram_BeatAnswer:
		e.Body = message.HeartbeatResponse{
			Term:              azuretiller.Term(b.BeatAnswer.GetTerm()),
			IsLeader:          b.BeatAnswer.GetLeads(),
			Leader:            azuretiller.VMID(b.BeatAnswer.GetLeader()),
			LeaderAddress:     b.BeatAnswer.GetAddress(),
			ConfigRevision:    b.BeatAnswer.GetSettings(),
			LeaderResigned:    b.BeatAnswer.GetResigned(),
			StaticFieldsKnown: b.BeatAnswer.GetKnown(),
			Stamp:             decodeClock(b.BeatAnswer.GetStampMs()),
			SentAt:            decodeClock(b.BeatAnswer.GetSentMs()),
			Share:             azuretiller.RateShare(b.BeatAnswer.GetShare()),
			ShareRenewed:      b.BeatAnswer.GetRenewed(),
			ShareOffset:       azuretiller.RateShare(b.BeatAnswer.GetOffset()),
			StrongerVMs:       int(b.BeatAnswer.GetStronger()),
		}
	case *fleetpb.Datagram_Poll:
		e.Body = message.VoteRequest{Term: azuretiller.Term(b.Poll.GetTerm())}
	case *fleetpb.Datagram_Vote:
		e.Body = message.Vote{
			Term:            azuretiller.Term(b.Vote.GetTerm()),
			LeaderReachable: b.Vote.GetInTouch(),
			Leader:          azuretiller.VMID(b.Vote.GetLeader()),
			LeaderAddress:   b.Vote.GetAddress(),
			Share:           azuretiller.RateShare(b.Vote.GetShare()),
		}
	case *fleetpb.Datagram_HandOver:
		e.Body = decodeHandOver(b.HandOver)
	case *fleetpb.Datagram_Ask:
		e.Body = decodePlaceRequest(b.Ask)
	case *fleetpb.Datagram_Grant:
		e.Body = decodePlaceResponse(b.Grant)
	case *fleetpb.Datagram_Report:
		e.Body = decodeReport(b.Report)
	case *fleetpb.Datagram_Seen:
		e.Body = message.ReportAck{Term: azuretiller.Term(b.Seen.GetTerm())}
	case *fleetpb.Datagram_View:
		e.Body = decodeView(b.View)
	default:
		return message.Envelope{}, errors.New("decode datagram: body is missing or of an unknown type")
	}
	return e, nil
}
