package backoffice

import "carawayknot.example/carawayknot/pkg/catalogue"

// Rating is the late verdict on one sampled answer.
type Rating struct {
	RequestID string
	Version   catalogue.VersionID
	Task      string
	// Score is from 0 to 1.
	Score float64
}

// RatingBatch is a piece of the stream of ratings.
type RatingBatch struct {
	Ratings []Rating
	// Next is where the next read starts.
	Next int64
}

// RateRequest asks for a verdict on an answer at once.
type RateRequest struct {
	RequestID string
	Version   catalogue.VersionID
	Task      string
	Prompt    string
	Answer    string
}

// RateReply is the verdict, from 0 to 1.
type RateReply struct {
	Score float64
}
