// Package detour tells which services this instance can't reach though others may, and through which instances their calls go meanwhile.
package detour
