"""Speak to callers, targets, platform and peers; hold no rule."""
