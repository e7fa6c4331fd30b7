// Package delivery sends calls to upstreams and streams the responses back to callers: single-send attempts, response
// validation, stream resumption and buffering with back-pressure. Apart from package reservation, which replays recorded
// outcomes, it is the only package that refuses a request with an outcome other than NotRun.
package delivery
