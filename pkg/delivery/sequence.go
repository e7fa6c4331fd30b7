package delivery

import (
	"strconv"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

// sequence checks that the events of a stream belong to one request and come in order, without gaps or duplicates.
type sequence struct {
	id      string
	version catalogue.VersionID
	// offset is the expected offset of the next token.
	offset int
	// resumed is true until the first event of a resumed stream.
	resumed bool
	// last is the text of the previous token.
	last string
	end  *request.End
}

// next returns the chunk of an event; it has no tokens if the event has none or repeats the previous one.
// Its errors are *mismatchError and, for a gap, *incompleteError.
func (s *sequence) next(ce chatEvent) (request.Chunk, error) {
	if err := s.checkIdentity(ce); err != nil {
		return request.Chunk{}, err
	}
	text, finish := "", ""
	if len(ce.Choices) > 0 {
		text = ce.Choices[0].Delta.Content
		if f := ce.Choices[0].FinishReason; f != nil {
			finish = *f
		}
	}
	repeat, err := s.checkOffset(*ce.Offset, text)
	if err != nil || repeat {
		return request.Chunk{}, err
	}
	s.resumed = false
	k := request.Chunk{Offset: s.offset, Text: text}
	if text != "" {
		k.Tokens = 1
		s.offset++
		s.last = text
	}
	if finish != "" {
		s.end = newEnd(finish, ce.Usage, s.offset)
	}
	return k, nil
}

func (s *sequence) checkIdentity(ce chatEvent) error {
	if ce.ID != s.id {
		return &mismatchError{Field: "id", Want: s.id, Got: ce.ID}
	}
	if ce.Model != s.version {
		return &mismatchError{Field: "model", Want: string(s.version), Got: string(ce.Model)}
	}
	if len(ce.Choices) > 1 || len(ce.Choices) == 1 && ce.Choices[0].Index != 0 {
		return &mismatchError{Field: "choices", Want: "one choice with index 0", Got: strconv.Itoa(len(ce.Choices))}
	}
	if ce.Offset == nil {
		return &mismatchError{Field: "offset", Want: strconv.Itoa(s.offset), Got: ""}
	}
	if s.end != nil && (len(ce.Choices) > 0 && ce.Choices[0].Delta.Content != "") {
		return &mismatchError{Field: "event", Want: "[DONE]", Got: "a token after the end"}
	}
	return nil
}

// checkOffset returns an error unless the event has the expected offset or repeats the previous event exactly.
func (s *sequence) checkOffset(got int, text string) (repeat bool, err error) {
	if got == s.offset {
		return false, nil
	}
	if got == s.offset-1 && !s.resumed && text != "" && text == s.last {
		return true, nil
	}
	mismatch := &mismatchError{Field: "offset", Want: strconv.Itoa(s.offset), Got: strconv.Itoa(got)}
	if got > s.offset {
		// Tokens are missing; the engine may still retain them, so resuming can recover them.
		return false, &incompleteError{cause: mismatch}
	}
	return false, mismatch
}

func newEnd(finish string, u *tokenUsage, tokens int) *request.End {
	end := &request.End{FinishReason: finish, OutputTokens: tokens}
	if u != nil {
		end.InputTokens = max(u.PromptTokens, 0)
		end.OutputTokens = max(u.CompletionTokens, tokens)
	}
	return end
}
