// Package ctl is the logic of the command-line tool briarturnctl.
//
// Rules:
//   - Results go to standard output, everything else to standard error.
//   - With --json, standard output holds nothing but JSON.
//   - The exit code tells what to do next, see ExitOK and the others.
//   - apply makes an object what its file says, by conditional write. A write
//     whose answer was lost is read back, never sent blind a second time.
package ctl
