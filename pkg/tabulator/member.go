package tabulator

import "fmt"

type (
	// MemberID identifies a run of an instance; the incarnation increases with each start.
	MemberID struct {
		Instance    string
		Incarnation uint64
	}

	// MemberFields is the serialized form of a member; Via names the control instance that serves its lease.
	MemberFields struct {
		Instance        string `json:"instance"`
		Incarnation     uint64 `json:"incarnation"`
		DataCentre      string `json:"data-centre"`
		FellowAddress   string `json:"fellow-address"`
		OperatorAddress string `json:"operator-address"`
		Via             string `json:"via"`
		Draining        bool   `json:"draining"`
		Joined          uint64 `json:"joined"`
		Revision        uint64 `json:"revision"`
	}

	// Member is an entry instance that holds a lease, or held one, and has not been removed.
	Member struct {
		fields MemberFields
	}

	// Removal records the removal of a member at a revision.
	Removal struct {
		Instance    string        `json:"instance"`
		Incarnation uint64        `json:"incarnation"`
		Reason      RemovalReason `json:"reason"`
		Revision    uint64        `json:"revision"`
	}
)

// NewMember returns the member with the given fields.
func NewMember(fields MemberFields) Member { return Member{fields: fields} }

// Fields returns the serialized form of the member.
func (m Member) Fields() MemberFields { return m.fields }

// ID returns the instance and incarnation of the member.
func (m Member) ID() MemberID {
	return MemberID{Instance: m.fields.Instance, Incarnation: m.fields.Incarnation}
}

// Instance returns the name of the instance.
func (m Member) Instance() string { return m.fields.Instance }

// DataCentre returns the data centre of the instance.
func (m Member) DataCentre() string { return m.fields.DataCentre }

// PeerAddress returns the address at which the instance accepts calls from other instances.
func (m Member) PeerAddress() string { return m.fields.FellowAddress }

// OperatorAddress returns the address of the administration API.
func (m Member) OperatorAddress() string { return m.fields.OperatorAddress }

// IsDraining reports whether the member is draining and must be assigned no leafs.
func (m Member) IsDraining() bool { return m.fields.Draining }

// Joined returns the revision at which this incarnation joined.
func (m Member) Joined() uint64 { return m.fields.Joined }

// String returns the identifier as instance#incarnation, with the incarnation in hexadecimal.
func (id MemberID) String() string {
	return fmt.Sprintf("%s#%x", id.Instance, id.Incarnation)
}
