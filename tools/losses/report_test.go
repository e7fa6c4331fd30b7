package main

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestWrite(t *testing.T) {
	const text = `{"parts":[["whole day",0.7,0.9],["worst windows",0.3,0.5]],
"prices":[["machines",500,0.02],["probes",0,0],["models",250,0.07]],
"classes":[{"name":"plan","n":10,"late":1,"refused":0,"failed":2,"not_owed":3,"worth":0.7}],
"windows":[{"name":"0","n":10,"worth":0.9},{"name":"2","n":10,"worth":0.2},{"name":"4","n":100,"not_owed":100,"worth":1}],
"unserved_by":[["deadline",2,["1.0 s  sent"]]]}`
	var r report
	if err := json.Unmarshal([]byte(text), &r); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	write(&b, &r)
	want := `worth 0.690
lost    of      part
0.070   0.700   whole day
0.150   0.300   worst windows
0.070           price: models (250)
0.020           price: machines (500)
route                owed   late  refused  failed  worth
plan                    7      1        0       2  0.700
from second          owed   late  refused  failed  worth
2                      10      0        0       0  0.200
0                      10      0        0       0  0.900
4                       0      0        0       0  1.000
not served, by the end of the last try
     2 deadline
          1.0 s  sent
`
	if diff := cmp.Diff(want, b.String()); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
}
