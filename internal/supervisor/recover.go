package supervisor

// Recover reports the panic of a goroutine; defer it. What others wait for is completed by
// further deferred calls.
func Recover(name string) {
	if v := recover(); v != nil {
		_ = Report(name, v)
	}
}

// Return reports a panic and sets the result of the function that defers it.
func Return(name string, err *error) {
	if v := recover(); v != nil {
		*err = Report(name, v)
	}
}

// Do calls a function and returns its error, or that of its panic.
func Do(name string, f func() error) (err error) {
	defer Return(name, &err)
	return f()
}
