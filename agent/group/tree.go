package group

// A coordinator that calls every rank itself is the narrowest place of a large group:
// with 95 other ranks, one round of orders takes 95 calls on a VM with a quarter of a
// core, and a poll of all counts 0.3 MB on a link of 6 Mbit/s. So it calls a few ranks,
// each of which passes the order on to some others and sums up their counts. What an
// order means, and who promises what to whom, is not affected: a rank that passes
// orders on decides nothing, and an order that gets no answer is sent again without
// it.

// mostDirect is the number of ranks that a coordinator calls itself at most. With 96
// ranks each then passes on to five others, and all have about the same to do; groups
// of up to 17 ranks have none that pass on.
const mostDirect = 16

// chunks splits all ranks but the coordinator's into at most mostDirect runs of about
// equal length.
func chunks(ranks, self int) [][]int {
	others := make([]int, 0, ranks)
	for r := range ranks {
		if r != self {
			others = append(others, r)
		}
	}
	n := min(mostDirect, len(others))
	out := make([][]int, 0, n)
	for i := range n {
		out = append(out, others[i*len(others)/n:(i+1)*len(others)/n])
	}
	return out
}
