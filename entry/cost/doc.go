// Package cost estimates for how long a request occupies a slot of a backend server. It
// performs no I/O and reads no clock.
//
// Callers declare the number of prompt tokens and the largest number of output tokens. The
// estimate of a request is the mean time of earlier requests of its route with counts of the
// same magnitude. Where there are few of these it is close to the mean of the route, and it
// stays within a factor of that mean, so that wrong counts have a bounded effect. A request
// whose counts are missing, or cannot be true, has the mean of its route.
//
// The estimate must only be used to account for what teams use. It must not order or refuse
// requests: that would starve the largest ones.
package cost
