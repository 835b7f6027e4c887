package requests

// responseStatusOK is the status of a complete response. It is on disk, in the claim of a one-shot
// request, and callers read it; this spelling never changes.
const responseStatusOK = "ok"
