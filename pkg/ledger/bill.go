package ledger

import (
	"encoding/json"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// BillingStream is the log stream that carries the bills.
const BillingStream = "billing"

// Bill is the one line for a request, however many attempts and cascade steps it took.
type Bill struct {
	RequestID string
	Workspace string
	Profile   string `json:",omitempty"`
	Service   string `json:",omitempty"`
	Outcome   request.Outcome
	Usage     []request.Usage `json:",omitempty"`
	Cost      catalogue.Micros
	// At is the wall time of the end of the request, in milliseconds.
	At clock.Millis
	// Instance served the request.
	Instance string
}

// BillKey names the bill of a request: callers choose the ids of requests, and two workspaces may choose the same one.
type BillKey struct {
	Workspace string
	RequestID string
}

// Key returns the name of the bill; bills of one key are copies of one another.
func (l *Bill) Key() BillKey { return BillKey{Workspace: l.Workspace, RequestID: l.RequestID} }

func encodeBill(l *Bill) ([]byte, error) { return json.Marshal(l) }

// DecodeBill reads a record of the billing stream.
func DecodeBill(data []byte) (*Bill, error) {
	l := &Bill{}
	if err := json.Unmarshal(data, l); err != nil {
		return nil, err
	}
	return l, nil
}
