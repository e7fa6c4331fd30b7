package catalogue

// ReceiptState tells how far a change has come.
type ReceiptState string

const (
	// ChangeRecorded means that the change is in the log and took effect, but too few members are known to hold it.
	ChangeRecorded ReceiptState = "Recorded"
	// ChangeAccepted means that the change took effect and a majority of the known members hold it.
	ChangeAccepted ReceiptState = "Accepted"
	// ChangeRefused means that the fold refused the change on every instance alike.
	ChangeRefused ReceiptState = "Refused"
)

// Receipt is the answer to a change.
type Receipt struct {
	ID       string
	State    ReceiptState
	Revision Revision
	// Missing names the members that are not known to hold the change.
	Missing []string `json:",omitempty"`
	// Why tells the reason of a refusal.
	Why string `json:",omitempty"`
}
