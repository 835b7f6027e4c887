package scheduler

// ExcludeServer is the value in Request.AvoidedServers from which on a server is not chosen
// for the request at all. Below it, the value is how many attempts on the server failed.
const ExcludeServer = 3
