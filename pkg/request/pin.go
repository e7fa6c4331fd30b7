package request

// PinHeader is the header with the signed session pins, in the form "v1.<payload>.<signature>", both parts in unpadded
// base64url: the payload is JSON with the fields Session and Pins, the signature the HMAC-SHA-256 of "v1.<payload>".
const PinHeader = "Carawayknot-Pin"
