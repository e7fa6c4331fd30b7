package ledger

import (
	"encoding/json"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// BillingStream is the log stream to which bills are appended, one JSON object a record.
const BillingStream = "billing"

// Bill is the billing record of one request and covers all of its attempts and cascade steps.
type Bill struct {
	RequestID string
	Workspace string
	Profile   string `json:",omitempty"`
	Service   string `json:",omitempty"`
	Outcome   request.Outcome
	Usage     []request.Usage `json:",omitempty"`
	Cost      catalogue.Micros
	// At is the wall-clock time at which the request ended, in milliseconds since the epoch.
	At clock.Millis
	// Instance is the name of the instance that served the request.
	Instance string
}

// BillKey identifies the bill of a request; callers choose request ids, so that two workspaces may use the same one.
type BillKey struct {
	Workspace string
	RequestID string
}

// Key returns the deduplication key: bills with the same key are copies of one another.
func (b *Bill) Key() BillKey { return BillKey{Workspace: b.Workspace, RequestID: b.RequestID} }

func encodeBill(b *Bill) ([]byte, error) { return json.Marshal(b) }

// DecodeBill parses a record of the billing stream.
func DecodeBill(data []byte) (*Bill, error) {
	b := &Bill{}
	if err := json.Unmarshal(data, b); err != nil {
		return nil, err
	}
	return b, nil
}
