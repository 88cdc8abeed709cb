// Package capacity works out what each role needs at a fleet's size, from
// slopes that were measured on the real packages.
//
// Rules:
//   - Measure runs each measurement at three sizes or more and fits a line; a
//     figure of the page is a formula over such lines, the fleet's sizes and the
//     constants of the packages, and nothing else.
//   - Compute is a pure function, so that the page follows from the slopes on
//     record alone.
//   - A figure over its limit is said to be over; no limit is rounded up.
package capacity
