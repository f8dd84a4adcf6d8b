package main

import "golang.org/x/sys/unix"

const (
	standardError = 2
	// descriptorPath opens what standard error is connected to once more.
	descriptorPath = "/proc/self/fd/2"
)

// unblockStandardError makes writes to a pipe that nobody reads fail instead of waiting, also
// those of the runtime when it ends the process: without it a process that crashed would keep its
// ports and serve nothing. The pipe is opened anew, since its flags are shared with other processes.
func unblockStandardError() {
	var info unix.Stat_t
	if err := unix.Fstat(standardError, &info); err != nil || info.Mode&unix.S_IFMT != unix.S_IFIFO {
		return // Files and terminals don't block for long, and sockets can't be opened.
	}
	fd, err := unix.Open(descriptorPath, unix.O_WRONLY|unix.O_NONBLOCK|unix.O_CLOEXEC, 0)
	if err != nil {
		return // It is used as it is.
	}
	_ = unix.Dup3(fd, standardError, 0)
	_ = unix.Close(fd)
}
