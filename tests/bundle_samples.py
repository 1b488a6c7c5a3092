"""Small documents and signed bundles for tests."""

from hashlib import sha256

from oleanderridge.config.builds import Build, make_build
from oleanderridge.config.signing import generate_keypair, sign

KEYS = generate_keypair()


def document(version=1, rate=5, count=3, **fields):
    """Return a valid document; workspace ``w0`` has the given rate."""
    workspaces = [
        {
            'name': f'w{number}',
            'rate': 5 if number else rate,
            'burst': 4,
            'key_hashes': [sha256(b'key %d' % number).hexdigest()],
        }
        for number in range(count)
    ]
    target = {'name': 't0', 'url': 'http://127.0.0.1:9000'}
    return {
        'version': version,
        'parent': '',
        'workspaces': workspaces,
        'services': [{'name': 's0', 'targets': [target]}],
        'routes': [{'prefix': '/a', 'service': 's0'}],
        **fields,
    }


def bundle(sample, keys=KEYS):
    """Return the signed build of a document, which may be invalid."""
    _, chunks = make_build(sample)
    signed = sign(sample['version'], sample['parent'], chunks, keys.secret)
    return Build(signed, chunks)


def deliver(store, build):
    """Offer a bundle and all chunks that the store asks for."""
    offer = store.offer_manifest(build.manifest)
    while offer.status == 'wanted':
        for digest in offer.missing:
            offer = store.offer_chunk(digest, build.content_by_digest[digest])
    return offer
