// Package request has the data of a request on its way through an instance: request, call, answer and refusal.
package request
