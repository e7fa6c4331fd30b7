package archive

import (
	"context"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/clock"
)

// DecodedTopic is a topic that decodes the records of a source; records that can't be decoded are logged and skipped.
type DecodedTopic[T any] struct {
	Source Source
	Log    logr.Logger
	Name   TopicName
	Decode func(r Record) (T, error)
}

// Newest returns the newest item of each key.
func (t *DecodedTopic[T]) Newest(ctx context.Context) (Batch[T], error) {
	b, err := t.Source.Newest(ctx, t.Name)
	if err != nil {
		return Batch[T]{}, err
	}
	return t.decode(b), nil
}

// Read returns the items from a position on, and waits for the first one for up to wait milliseconds.
func (t *DecodedTopic[T]) Read(ctx context.Context, from int64, wait clock.Millis) (Batch[T], error) {
	b, err := t.Source.Read(ctx, t.Name, from, wait)
	if err != nil {
		return Batch[T]{}, err
	}
	return t.decode(b), nil
}

func (t *DecodedTopic[T]) decode(b Batch[Record]) Batch[T] {
	out := Batch[T]{Whole: b.Whole, Next: b.Next, AsOf: b.AsOf, Era: b.Era}
	for _, r := range b.Items {
		item, err := t.Decode(r)
		if err != nil {
			t.Log.Info("skipped a record that can't be decoded", "topic", t.Name, "key", r.Key, "error", err.Error())
			continue
		}
		out.Items = append(out.Items, item)
	}
	return out
}
