"""Tests of weldquay; none of them needs the bench."""
