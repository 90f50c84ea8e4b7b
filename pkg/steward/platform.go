package steward

import (
	"github.com/valyala/fasthttp"

	"lovagedeck/pkg/gatekeeper"
	"lovagedeck/pkg/lister"
	"lovagedeck/pkg/router"
)

// Platform adapts the settings, headers, routing documents and operators' calls of the platform that the deployment runs on. It
// only converts formats, and leaves all decisions to the other packages.
type Platform interface {
	// SettingsFile returns the path of the settings file.
	SettingsFile() string
	// Settings reads the settings file. It returns an error if the file cannot be read or decoded.
	Settings() (Settings, error)
	// Headers returns the names of the headers that the platform uses.
	Headers() gatekeeper.Headers
	// DecodeDocument builds the routing table of a routing document. It returns an error if the document is invalid or has
	// another version.
	DecodeDocument(version uint64, body []byte) (*router.Table, error)
	// ListLeafs fetches the list of leafs of one data centre, or of all if the name is empty. It returns the number of calls
	// that this took also after an error.
	ListLeafs(dataCentre string) (lister.Listing, error)
	// OperatorHandler returns the HTTP handler for operators' calls to a control instance.
	OperatorHandler(api OperatorAPI) fasthttp.RequestHandler
	// ReadinessHandler returns the HTTP handler of the readiness probe of an entry instance.
	ReadinessHandler(isReady func() bool) fasthttp.RequestHandler
}

// OperatorAPI is what a control instance offers to operators.
type OperatorAPI interface {
	// PutDocument appends a valid routing document to the replicated log and waits until it is applied. It returns an error
	// if the document was rejected or the outcome is unknown.
	PutDocument(version uint64, body []byte) error
	// Document returns the newest routing document, or version 0 if there is none. It returns ErrUnconfirmed if no majority of
	// the control instances confirmed that the document is the newest.
	Document() (version uint64, body []byte, err error)
	// TakeOutOfService stops new requests from being sent to leafs in a data centre. It returns an error if the change was
	// rejected, its outcome is unknown, or isWaiting reports that the operator no longer waits for the answer.
	TakeOutOfService(dataCentre string, isWaiting func() bool) error
	// ReturnToService allows new requests to leafs in a data centre again. It returns an error in the same cases.
	ReturnToService(dataCentre string, isWaiting func() bool) error
	// StartRollout orders a roll-out. The error is ErrInvalidOrder or ErrOrderConflict if the order was refused for good. After other
	// errors it may be sent again; those are the ones of TakeOutOfService.
	StartRollout(order RolloutOrder, isWaiting func() bool) error
	// Rollout returns the newest roll-out of a service, if there has been one. It returns ErrUnconfirmed if no majority of the control
	// instances confirmed that it is the newest.
	Rollout(service string) (rollout Rollout, isKnown bool, err error)
}
