// Package catalog is the dynamic configuration of a gateway: routes, the
// services behind them, teams with their API keys, and limits.
//
// A Snapshot is immutable and decides by itself; a Store holds the one in
// force and only ever moves to a higher version. Snapshots come from a
// configuration source, which validates and decodes what operators published.
package catalog
