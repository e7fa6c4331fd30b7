// Package delivery has the sending of requests to upstreams and the passing on of their answers.
package delivery
