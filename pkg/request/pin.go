package request

// PinHeader is the header in which a session's pins travel: "v1.<payload>.<signature>", both parts in unpadded base64url.
// The payload is JSON with the fields Session and Pins; the signature is the HMAC-SHA-256 of "v1.<payload>".
const PinHeader = "Carawayknot-Pin"
