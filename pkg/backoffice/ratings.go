package backoffice

import "carawayknot.example/carawayknot/pkg/catalogue"

// Rating is the score of one sampled answer, which arrives some time after the answer.
type Rating struct {
	RequestID string
	Version   catalogue.VersionID
	Task      string
	// Score ranges from 0 to 1.
	Score float64
}

// RatingBatch is one page of the stream of ratings.
type RatingBatch struct {
	Ratings []Rating
	// Next is the position from which to read the following page.
	Next int64
}

// RateRequest asks for the score of one answer.
type RateRequest struct {
	RequestID string
	Version   catalogue.VersionID
	Task      string
	Prompt    string
	Answer    string
}

// RateReply has the score of the answer, from 0 to 1.
type RateReply struct {
	Score float64
}
