"""The stand-ins and the test bed of the second review's scripts."""
