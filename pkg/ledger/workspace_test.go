package ledger

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/backoffice"
)

// Callers choose request ids, so that two workspaces may use the same one; the two bills must not count as duplicates.
func TestP04OneRequestIDInTwoWorkspaces(t *testing.T) {
	bills := []*Bill{
		{RequestID: "r1", Workspace: "chai", Cost: 5, Instance: "a"},
		{RequestID: "r1", Workspace: "tapis", Cost: 7, Instance: "b"},
		{RequestID: "r1", Workspace: "chai", Cost: 5, Instance: "a"},
	}
	f := &Fold{}
	k := &BillKeeper{Common: testCommon("c", "z2")}
	for n, bill := range bills {
		data, err := encodeBill(bill)
		if err != nil {
			t.Fatal(err)
		}
		f.Add(backoffice.Entry{Offset: int64(n), Data: data})
		if err := k.Hold(&HoldArgs{Bills: []*Bill{bill}}, &HoldReply{}); err != nil {
			t.Fatal(err)
		}
	}
	want := map[string]Total{"chai": {Requests: 1, Cost: 5}, "tapis": {Requests: 1, Cost: 7}}
	if diff := cmp.Diff(want, f.Totals); diff != "" {
		t.Errorf("totals (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(2, len(k.Bills())); diff != "" {
		t.Errorf("bills held (-want +got):\n%s", diff)
	}
}
