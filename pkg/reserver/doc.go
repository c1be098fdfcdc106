// Package reserver decides, for a recipient of quotas, which requests may use a target's memory.
//
// Quotas expire without any comparison of clocks. A quota refers to the last heartbeat number that the owner had
// received from this instance when it granted the quota. This instance counts the quota's duration on its own clock
// from the time at which it sent that heartbeat. The owner counts the same duration plus a tenth on its clock from
// the later time of the grant, so the owner's count ends last if the rates of the two clocks differ by less than a
// tenth. One-off reservations count from the sending of the reserve call in the same way.
package reserver
