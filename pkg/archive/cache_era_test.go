package archive

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// Guards against a cache that joins records of two eras of the store, whose positions overlap.
func TestCacheKeepsErasApart(t *testing.T) {
	r := func(key string) Record { return Record{Key: key, Value: []byte("1")} }
	c := &Cache{}
	c.Update(TopicListings, Batch[Record]{Items: []Record{r("a")}, Whole: true, Next: 5, AsOf: 10, Era: 4})
	c.Update(TopicListings, Batch[Record]{Items: []Record{r("b")}, Next: 6, AsOf: 20})
	c.Update(TopicListings, Batch[Record]{Items: []Record{r("other")}, Next: 7, AsOf: 30, Era: 5})
	b, _, err := c.ReadFrom(TopicListings, 4, 5)
	if diff := cmp.Diff(Batch[Record]{Items: []Record{r("b")}, Next: 6, AsOf: 20, Era: 4}, b); diff != "" || err != nil {
		t.Errorf("ReadFrom() after a batch of another era: error %v, (-want +got):\n%s", err, diff)
	}
	if c.Era() != 5 || c.TopicEra(TopicListings) != 4 {
		t.Errorf("got era %d and %d of the topic, want 5 and 4", c.Era(), c.TopicEra(TopicListings))
	}
	c.Update(TopicListings, Batch[Record]{Items: []Record{r("c")}, Whole: true, Next: 5, AsOf: 40, Era: 5})
	c.Update(TopicListings, Batch[Record]{Items: []Record{r("d")}, Next: 6, AsOf: 50, Era: 5})
	for _, x := range []struct {
		name      string
		era, from int64
		items     int
		err       error
	}{
		{"the same era", 5, 5, 1, nil},
		{"a reader that doesn't know the era", 0, 5, 1, nil},
		{"an earlier era", 4, 5, 0, ErrTrimmed},
		{"an earlier era, beyond the end", 4, 9, 0, ErrTrimmed},
		{"a later era", 6, 5, 0, ErrBehind},
	} {
		b, _, err := c.ReadFrom(TopicListings, x.era, x.from)
		if len(b.Items) != x.items || !errors.Is(err, x.err) {
			t.Errorf("%s: got %d records and error %v, want %d and %v", x.name, len(b.Items), err, x.items, x.err)
		}
	}
	c.Update(TopicListings, Batch[Record]{Whole: true, Next: 7, AsOf: 60})
	if got := c.TopicEra(TopicListings); got != 5 {
		t.Errorf("a batch of an unknown era changed the era from 5 to %d", got)
	}
}
