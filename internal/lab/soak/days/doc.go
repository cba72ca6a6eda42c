// Package days plays a few drawn days of the soak in CI, against the program as it is released. burlpass-lab soak plays many.
package days
