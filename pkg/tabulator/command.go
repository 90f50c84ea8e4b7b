// Commands are the entries of the replicated log. A command is encoded as an
// Envelope with exactly one field set, so that decoding needs no type registry.

package tabulator

import (
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// VerdictAccepted means that the change has been committed to the log of a majority.
	VerdictAccepted Verdict = "accepted"
	// VerdictConflict means that the state has changed since the one that the command is based on.
	VerdictConflict Verdict = "conflict"
	// VerdictInvalid means that the change failed validation.
	VerdictInvalid Verdict = "invalid"
)

const (
	// RemovedExpired marks a member whose lease has run out.
	RemovedExpired RemovalReason = "expired"
	// RemovedLeft marks a member that handed over its leafs and shut down.
	RemovedLeft RemovalReason = "left"
	// RemovedReplaced marks a member whose instance restarted with a higher incarnation.
	RemovedReplaced RemovalReason = "replaced"
)

type (
	// Verdict is the outcome of a command.
	Verdict string

	// RemovalReason is the reason for which a member was removed.
	RemovalReason string

	// Command is an entry of the replicated log.
	Command interface {
		isCommand()
	}

	// ChangeRows replaces rows; the Revision field of each row holds the revision that the edit is based on, or 0 for a new row.
	ChangeRows struct {
		ChangeID string      `json:"change-id"`
		Operator string      `json:"operator"`
		Rows     []RowFields `json:"rows"`
	}

	// SetDataCentre puts a data centre in or out of service, provided that its revision equals Base or Unconditional is set.
	SetDataCentre struct {
		ChangeID      string `json:"change-id"`
		Operator      string `json:"operator"`
		Name          string `json:"name"`
		State         State  `json:"state"`
		Base          uint64 `json:"base"`
		Unconditional bool   `json:"unconditional,omitempty"`
	}

	// PutDocument replaces the routing document if Version is higher than the current version.
	PutDocument struct {
		Version uint64
		Body    []byte
	}

	// Join registers an entry instance, or records that another control instance now serves its lease.
	Join struct {
		Member MemberFields
	}

	// Drain marks a member as draining: it keeps running but is assigned no leafs.
	Drain struct {
		Instance    string
		Incarnation uint64
	}

	// Remove removes a member, only while control instance Via serves its lease if Via is not empty.
	Remove struct {
		Instance    string
		Incarnation uint64
		Via         string
		Reason      RemovalReason
	}

	// StartRollout orders a roll-out of a service, provided that the newest roll-out of the service is the one that was ordered at
	// revision Base, or that there is none and Base is 0.
	StartRollout struct {
		Service  string
		Version  string
		Duration time.Duration
		Base     uint64
		// WallMs is the time of the order by the calendar clock of the proposer, in Unix milliseconds, or 0.
		WallMs int64
	}

	// AdvanceRollout changes the share or the state of a running roll-out, provided that its last change was at revision Base.
	AdvanceRollout struct {
		Service string
		Base    uint64
		State   RolloutState
		Share   int
		// Elapsed is the time since the order, as known to the leader.
		Elapsed time.Duration
		Reason  string
	}

	// Envelope is the encoded form of a command, with exactly one field set.
	Envelope struct {
		ChangeRows    *ChangeRows
		SetDataCentre *SetDataCentre
		Join          *Join
		Drain         *Drain
		Remove        *Remove
		PutDocument   *PutDocument
		// StartRollout and AdvanceRollout are not known to builds before roll-outs.
		StartRollout   *StartRollout
		AdvanceRollout *AdvanceRollout
	}

	// Conflict describes an item whose current revision differs from the base revision of a refused change; Now is its current
	// value, and Operator and ChangeID identify the change that set it.
	Conflict struct {
		Item     string `json:"item"`
		Base     uint64 `json:"base"`
		Current  uint64 `json:"current"`
		Operator string `json:"operator"`
		ChangeID string `json:"change-id"`
		Now      string `json:"now"`
	}

	// Result is the outcome of one command.
	Result struct {
		Verdict   Verdict    `json:"verdict"`
		Revision  uint64     `json:"revision"`
		Conflicts []Conflict `json:"conflicts,omitempty"`
		Faults    []string   `json:"faults,omitempty"`
		Repeated  bool       `json:"repeated,omitempty"`
	}
)

func (ChangeRows) isCommand()     {}
func (SetDataCentre) isCommand()  {}
func (Join) isCommand()           {}
func (Drain) isCommand()          {}
func (Remove) isCommand()         {}
func (PutDocument) isCommand()    {}
func (StartRollout) isCommand()   {}
func (AdvanceRollout) isCommand() {}

// Encode returns the encoding of a command in the log.
func Encode(command Command) ([]byte, error) {
	var envelope Envelope
	switch c := command.(type) {
	case ChangeRows:
		envelope.ChangeRows = &c
	case SetDataCentre:
		envelope.SetDataCentre = &c
	case Join:
		envelope.Join = &c
	case Drain:
		envelope.Drain = &c
	case Remove:
		envelope.Remove = &c
	case PutDocument:
		envelope.PutDocument = &c
	case StartRollout:
		envelope.StartRollout = &c
	case AdvanceRollout:
		envelope.AdvanceRollout = &c
	}
	data, err := msgpack.Marshal(&envelope)
	return data, errors.Wrap(err, "encode command")
}

// Decode returns the command encoded in data, or an error if data is malformed.
func Decode(data []byte) (Command, error) {
	var envelope Envelope
	if err := msgpack.Unmarshal(data, &envelope); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	switch {
	case envelope.ChangeRows != nil:
		return *envelope.ChangeRows, nil
	case envelope.SetDataCentre != nil:
		return *envelope.SetDataCentre, nil
	case envelope.Join != nil:
		return *envelope.Join, nil
	case envelope.Drain != nil:
		return *envelope.Drain, nil
	case envelope.Remove != nil:
		return *envelope.Remove, nil
	case envelope.PutDocument != nil:
		return *envelope.PutDocument, nil
	case envelope.StartRollout != nil:
		return *envelope.StartRollout, nil
	case envelope.AdvanceRollout != nil:
		return *envelope.AdvanceRollout, nil
	}
	return nil, errors.New("decode command: empty envelope")
}
