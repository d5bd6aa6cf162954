// Command peppertraild is the router daemon, the same on every host.
package main

func main() {}
