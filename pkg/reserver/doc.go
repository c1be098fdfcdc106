// Package reserver decides, for a recipient of quotas, which requests may use a target's memory.
//
// Expiry needs no comparison of clocks. A quota names, through the heartbeat number that the owner had heard
// from this instance when it granted the quota, a moment at which this instance sent that heartbeat. The quota
// is valid here for its duration counted from that moment on the own clock. The owner counts the same
// duration plus a tenth from the later moment of the grant on its clock, so it outlasts the use here as
// long as the two clocks' rates differ by less than a tenth. One-off reservations count from the sending of
// the reserve call in the same way.
package reserver
