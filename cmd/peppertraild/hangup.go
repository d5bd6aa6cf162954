package main

// The platform sends SIGHUP when the settings file changes, also to a process that has
// just been started. A Go program can ignore it only once its runtime has started, some
// milliseconds later than a constructor, and the default action ends the process. Without
// cgo, runOnPlatform is the first to ignore it.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
