package catalogue

// ReceiptState says whether a change took effect and how widely it is replicated.
type ReceiptState string

const (
	// ChangeRecorded means that the change is in the log and took effect, but no majority of the known members is known to hold it.
	ChangeRecorded ReceiptState = "Recorded"
	// ChangeAccepted means that the change took effect and a majority of the known members hold it.
	ChangeAccepted ReceiptState = "Accepted"
	// ChangeRefused means that the change is in the log but was refused, by every instance alike.
	ChangeRefused ReceiptState = "Refused"
)

// Receipt is the answer to an operator who sent a change.
type Receipt struct {
	ID       string
	State    ReceiptState
	Revision Revision
	// Missing has the names of the members that are not known to hold the change.
	Missing []string `json:",omitempty"`
	// Why is the reason of a refusal.
	Why string `json:",omitempty"`
}
