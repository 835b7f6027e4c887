package requests

// responseStatusOK is the status of a complete response. It is stored in the claims of one-shot
// requests and sent to callers, so its spelling must not change.
const responseStatusOK = "ok"
