// Package catalog holds the dynamic configuration of a gateway: routes, the
// services behind them, teams with their API keys, and limits.
//
// A Snapshot is immutable and self-contained. A Store holds the snapshot in
// force and never moves to a lower version. Snapshots come from a configuration
// source, which validates and decodes what operators published.
package catalog
