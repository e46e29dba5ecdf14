"""Bare forwarder (sanic and aiohttp) as a baseline for the node."""

import os

import aiohttp
import fire
import sanic
import uvloop


def build_app(target_url: str) -> sanic.Sanic:
    """Return an application that forwards every request."""
    app = sanic.Sanic('bench-forwarder', configure_logging=False)
    app.config.TOUCHUP = False
    app.config.ACCESS_LOG = False

    async def forward(request, path=''):
        async with app.ctx.session.request(
            request.method,
            f'{target_url}/{path}',
            headers={'SJ-Request-Id': 'bench.1'},
        ) as answer:
            reply = await request.respond(status=answer.status)
            async for chunk in answer.content.iter_any():
                await reply.send(chunk)
            await reply.eof()

    app.add_route(forward, '/<path:path>', methods=('GET',), stream=True)
    return app


async def serve(port: int, target_url: str) -> None:
    """Serve until stopped."""
    app = build_app(target_url)
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=120)
    ) as session:
        app.ctx.session = session
        server = await app.create_server(
            host='127.0.0.1', port=port, return_asyncio_server=True
        )
        await server.startup()
        await server.serve_forever()


def main(port, target_url) -> None:
    """Run the forwarder."""
    os.environ['UV_USE_IO_URING'] = '0'
    uvloop.run(serve(int(port), str(target_url)))


if __name__ == '__main__':
    fire.Fire(main)
