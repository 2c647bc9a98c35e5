package fairshare

import (
	"cmp"
	"slices"
)

// Claim is a team's claim to the slots of a service.
type Claim struct {
	Demand float64 // slots
	Weight float64 // above 0
}

// Shares returns the weighted max-min fair division of the slots, in the order of the claims.
// A share is at most the demand, and the shares add up to the slots or to the whole demand,
// whichever is less.
func Shares(slots float64, claims []Claim) []float64 {
	order := make([]int, len(claims))
	weight := 0.0 // of the claims that have no share yet
	for i, c := range claims {
		order[i] = i
		weight += c.Weight
	}
	// Claims that ask for the least by weight are met first, and what they leave is divided
	// among the others.
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(claims[a].Demand/claims[a].Weight, claims[b].Demand/claims[b].Weight)
	})
	shares := make([]float64, len(claims))
	left := max(0, slots)
	for _, i := range order {
		c := claims[i]
		part := left
		if c.Weight < weight {
			part = left * c.Weight / weight
		}
		shares[i] = max(0, min(c.Demand, part))
		left = max(0, left-shares[i])
		weight -= c.Weight
	}
	return shares
}
