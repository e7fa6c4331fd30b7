// Package pricing chooses the model version of a request: the cheapest plan whose expected rating meets the quality target of the
// profile. A plan is a single version or a cascade, which tries a cheap version first and escalates when its answer is rated too
// low. Rollout shares, session pins and exploration restrict or change the choice. For routed calls the package escalates from
// the smallest to the largest model when the model reports a low confidence.
package pricing
