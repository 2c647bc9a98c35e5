// Package expertmap plans the placement of experts on the ranks of an expert-parallel
// group.
//
// All ranks of a group advance in lock-step, layer by layer, so a layer takes as long as
// its slowest rank. A Map says which expert each slot of each rank holds; an expert in
// several slots is replicated and its tokens are split evenly. The skew of a layer is the
// time of the slowest rank over the mean; 1 is perfect.
//
// Plan improves the current map. In each layer it repeatedly takes the slowest rank and
// applies the best of two changes: swap one of its experts with one of a fast rank, or
// overwrite a redundant replica elsewhere with a replica of one of its experts. A single
// change seldom lowers the maximum, as several ranks may be close to it. The search
// therefore continues until a number of changes in a row bring no improvement, and then
// keeps the prefix of changes with the least
//
//	skew + price * moves
//
// where the price is the reduction of the skew that one expert move has to bring. Without
// any change the sum is that of the current map, so a plan is never worse by its own
// objective. Repack is the baseline: it ignores the current map, replicates the hottest
// experts and packs the replicas, largest first, onto the least loaded ranks.
//
// Limits: layers are planned one by one, counts are taken as a forecast, and tokens of
// one expert are assumed to split evenly over its replicas.
package expertmap
