package record

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/journalpb"
)

// Encode returns the bytes of a record as stored in the log.
func Encode(r Record) ([]byte, error) {
	out := &journalpb.Record{Id: r.ID, Author: string(r.Author), Base: uint64(r.Base)}
	switch body := r.Body.(type) {
	case Edit:
		out.Body = &journalpb.Record_Edit{Edit: encodeEdit(body)}
	case Join:
		out.Body = &journalpb.Record_Join{Join: encodeVM(body.VM)}
	case Removal:
		out.Body = &journalpb.Record_Removal{Removal: &journalpb.Removal{
			Vm:          string(body.VM),
			Incarnation: uint64(body.Incarnation),
			Reason:      body.Reason,
		}}
	case Checkpoint:
		out.Body = &journalpb.Record_Checkpoint{Checkpoint: encodeCheckpoint(body)}
	default:
		return nil, errors.Newf("encode record: unknown body %T", r.Body)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(out)
	return data, errors.Wrap(err, "encode record")
}

// Decode returns the record in data, or an error if data is not a well-formed record.
func Decode(data []byte) (Record, error) {
	in := &journalpb.Record{}
	if err := proto.Unmarshal(data, in); err != nil {
		return Record{}, errors.Wrap(err, "decode record")
	}
	r := Record{ID: in.Id, Author: azuretiller.VMID(in.Author), Base: azuretiller.Revision(in.Base)}
	switch body := in.Body.(type) {
	case *journalpb.Record_Edit:
		r.Body = decodeEdit(body.Edit)
	case *journalpb.Record_Join:
		r.Body = Join{VM: decodeVM(body.Join)}
	case *journalpb.Record_Removal:
		r.Body = Removal{
			VM:          azuretiller.VMID(body.Removal.Vm),
			Incarnation: azuretiller.Incarnation(body.Removal.Incarnation),
			Reason:      body.Removal.Reason,
		}
	case *journalpb.Record_Checkpoint:
		r.Body = decodeCheckpoint(body.Checkpoint)
	default:
		return Record{}, errors.New("decode record: no body")
	}
	if r.ID == "" {
		return Record{}, errors.New("decode record: no id")
	}
	return r, nil
}

func encodeEdit(e Edit) *journalpb.Edit {
	out := &journalpb.Edit{Operator: e.Operator, Comment: e.Comment}
	for _, c := range e.Changes {
		out.Changes = append(out.Changes, &journalpb.Change{
			Kind:  uint32(c.Kind),
			Path:  c.Path,
			Field: c.Field,
			Value: c.Value,
		})
	}
	return out
}

func decodeEdit(in *journalpb.Edit) Edit {
	e := Edit{Operator: in.GetOperator(), Comment: in.GetComment()}
	for _, c := range in.GetChanges() {
		e.Changes = append(e.Changes, azuretiller.Change{
			Kind:  azuretiller.ChangeKind(c.Kind),
			Path:  c.Path,
			Field: c.Field,
			Value: c.Value,
		})
	}
	return e
}

func encodeVM(vm azuretiller.VM) *journalpb.Member {
	return &journalpb.Member{
		Vm:          string(vm.ID),
		Incarnation: uint64(vm.Incarnation),
		Zone:        string(vm.Zone),
		Caller:      vm.CallerAddress,
		Peer:        vm.PeerAddress,
		Operator:    vm.OperatorAddress,
		Leaving:     vm.Leaving,
	}
}

func decodeVM(in *journalpb.Member) azuretiller.VM {
	return azuretiller.VM{
		ID:              azuretiller.VMID(in.GetVm()),
		Incarnation:     azuretiller.Incarnation(in.GetIncarnation()),
		Zone:            azuretiller.Zone(in.GetZone()),
		CallerAddress:   in.GetCaller(),
		PeerAddress:     in.GetPeer(),
		OperatorAddress: in.GetOperator(),
		Leaving:         in.GetLeaving(),
	}
}

func encodeCheckpoint(c Checkpoint) *journalpb.Checkpoint {
	out := &journalpb.Checkpoint{
		Next:     uint64(c.NextOffset),
		Revision: uint64(c.Revision),
		Roster:   uint64(c.RosterRevision),
	}
	for _, path := range slices.Sorted(maps.Keys(c.Branches)) {
		out.Branches = append(out.Branches, &journalpb.Branch{Path: path, Fields: c.Branches[path]})
	}
	for _, vm := range c.Members {
		out.Members = append(out.Members, encodeVM(vm))
	}
	for _, v := range c.Verdicts {
		out.Verdicts = append(out.Verdicts, &journalpb.Verdict{
			Id:       v.ID,
			Kind:     v.Kind,
			Offset:   uint64(v.Offset),
			Accepted: v.Accepted,
			Reason:   v.Reason,
			Operator: v.Operator,
			Comment:  v.Comment,
			Paths:    v.Paths,
		})
	}
	for _, change := range c.LastChanges {
		out.Touches = append(out.Touches, &journalpb.Touch{Path: change.Path, Offset: uint64(change.Offset), Operator: change.Operator})
	}
	return out
}

func decodeCheckpoint(in *journalpb.Checkpoint) Checkpoint {
	c := Checkpoint{
		NextOffset:     azuretiller.Offset(in.GetNext()),
		Revision:       azuretiller.Revision(in.GetRevision()),
		RosterRevision: azuretiller.Revision(in.GetRoster()),
		Branches:       map[string]map[string]string{},
	}
	for _, b := range in.GetBranches() {
		c.Branches[b.Path] = b.Fields
	}
	for _, m := range in.GetMembers() {
		c.Members = append(c.Members, decodeVM(m))
	}
	for _, v := range in.GetVerdicts() {
		c.Verdicts = append(c.Verdicts, Verdict{
			ID:       v.Id,
			Kind:     v.Kind,
			Offset:   azuretiller.Offset(v.Offset),
			Accepted: v.Accepted,
			Reason:   v.Reason,
			Operator: v.Operator,
			Comment:  v.Comment,
			Paths:    v.Paths,
		})
	}
	for _, touch := range in.GetTouches() {
		c.LastChanges = append(c.LastChanges, LastChange{Path: touch.Path, Offset: azuretiller.Offset(touch.Offset), Operator: touch.Operator})
	}
	return c
}
